import eslint from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Folders that hold decisions only: an event and a clock reading in, decisions out. */
const pureFolders = ['packages/core/src/**/*.ts', 'packages/coordination/src/state/**/*.ts'];

const ioMessage = 'Pure code has no input, output, timers or random source of its own.';

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'coverage/**'] },
  eslint.configs.recommended,
  {
    files: ['packages/*/{src,test}/**/*.ts', 'platform/{src,test}/**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {
      parserOptions: {
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json', 'tsconfig.test.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      '@typescript-eslint/no-extraneous-class': ['error', { allowStaticOnly: false }],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 400 }],
      'no-restricted-exports': ['error', { restrictDefaultExports: { direct: true } }],
    },
  },
  {
    files: pureFolders,
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            { group: ['node:*', '!node:crypto', 'undici', 'polka', 'p-queue'], message: ioMessage },
          ],
        },
      ],
      'no-restricted-globals': [
        'error',
        ...[
          'setTimeout',
          'setInterval',
          'setImmediate',
          'queueMicrotask',
          'fetch',
          'process',
          'performance',
        ].map((name) => ({ name, message: ioMessage })),
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: ioMessage },
        { object: 'Math', property: 'random', message: ioMessage },
      ],
      'no-restricted-syntax': [
        'error',
        { selector: "NewExpression[callee.name='Date'][arguments.length=0]", message: ioMessage },
      ],
    },
  },
  {
    // oclif loads each command from the default export of its file.
    files: ['packages/cli/src/commands/**/*.ts'],
    rules: { 'no-restricted-exports': 'off' },
  },
  {
    files: ['**/*.mjs', '**/*.js'],
    languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } },
  },
);
