// Bundles the daemon for the users' platform into one file, which starts faster than many modules.
import { build } from 'esbuild';

/** Leaves out error texts in other languages, which would be a sixth of the bundle and are unused. */
const englishOnly = {
  name: 'english-only',
  setup({ onLoad }) {
    onLoad({ filter: /zod[/\\]v4[/\\]locales[/\\]index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js';",
      loader: 'js',
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/turmerichoistd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
  minifySyntax: true,
  minifyWhitespace: true,
  plugins: [englishOnly],
  alias: Object.fromEntries(
    ['core', 'runtime', 'coordination', 'daemon'].map((name) => [
      `@turmerichoist/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // CommonJS dependencies load Node's built-in modules through `require`.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
