import neostandard, { plugins } from 'neostandard'

export default [
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**'] },
  ...neostandard({ ts: true }),
  {
    files: ['**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin },
    rules: { '@typescript-eslint/no-explicit-any': 'error' }
  },
  { rules: { '@stylistic/max-statements-per-line': ['error', { max: 2 }] } }
]
