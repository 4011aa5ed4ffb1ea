// Builds the daemon for the users' platform into one file, which starts faster than many modules.
import { build } from 'esbuild';

/** Error texts in other languages would be a sixth of the bundle and are never shown. */
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
  // Dependencies in the older module format ask for Node's modules through `require`.
  banner: {
    js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
  },
});
