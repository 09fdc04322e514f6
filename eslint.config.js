const gts = require('gts');

module.exports = [
  {ignores: ['build/', 'target/', 'node_modules/', '.dependency-cruiser.cjs']},
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {parserOptions: {project: './tsconfig.test.json'}},
    rules: {
      'max-lines': ['error', {max: 360, skipBlankLines: true}],
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'n/no-unpublished-import': 'off',
    },
  },
];
