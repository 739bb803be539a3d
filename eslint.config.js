import neostandard from 'neostandard'
import tseslint from 'typescript-eslint'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**'] }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': tseslint.plugin },
    rules: {
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      'import-x/no-duplicates': 'off'
    }
  }
]
