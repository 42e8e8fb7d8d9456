import gts from 'gts/build/eslint.config.js';

export default [
  {ignores: ['**/dist/', '**/gen/', 'target/', '**/node_modules/']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {project: true, tsconfigRootDir: import.meta.dirname},
    },
    rules: {
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        {considerDefaultExhaustiveForUnions: true},
      ],
      '@typescript-eslint/no-explicit-any': 'error',
      // A promise returned from the scope of a `using` outlives what it needs.
      '@typescript-eslint/return-await': [
        'error',
        'error-handling-correctness-only',
      ],
      '@typescript-eslint/no-unused-vars': [
        'error',
        // `await using` bindings own a resource and are never read.
        {varsIgnorePattern: '^(owned|unused)', argsIgnorePattern: '^unused'},
      ],
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'n/no-process-exit': 'off',
      'n/hashbang': 'off',
    },
  },
  {
    files: ['**/*.js'],
    rules: {'n/no-unpublished-import': 'off', 'n/no-extraneous-import': 'off'},
  },
];
