/**
 * Reads and validates settings in TOML. All findings are reported together, each with its location.
 *
 * @module
 */
export * from './finding.ts'
export * from './locate_key.ts'
export * from './read_document.ts'
export * from './read_settings.ts'
export * from './settings.ts'
