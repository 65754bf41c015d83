/**
 * Command-line client for operators.
 *
 * @module
 */
export * from './admin_client.ts'
export * from './exit_code.ts'
export * from './format_failure.ts'
export * from './format_table.ts'
export * from './replay_command.ts'
