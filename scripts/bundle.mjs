// Builds the daemon for the users' platform into one file, which starts faster than many modules.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/turmerichoistd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  legalComments: 'none',
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
