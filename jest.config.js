export default {
  testEnvironment: 'node',
  roots: ['<rootDir>/packages', '<rootDir>/platform'],
  testMatch: ['**/test/**/*.test.ts'],
  extensionsToTreatAsEsm: ['.ts'],
  transform: {
    '^.+\\.ts$': [
      '@swc/jest',
      {
        jsc: { target: 'es2023', parser: { syntax: 'typescript' } },
        module: { type: 'es6' },
        sourceMaps: 'inline',
      },
    ],
  },
  moduleNameMapper: {
    '^@turmerichoist/platform$': '<rootDir>/platform/src/index.ts',
    '^@turmerichoist/([a-z-]+)$': '<rootDir>/packages/$1/src/index.ts',
    '^(\\.{1,2}/.*)\\.js$': '$1',
  },
  testTimeout: 30_000,
  maxWorkers: 4,
};
