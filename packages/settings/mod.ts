/**
 * Settings in TOML, checked, with every finding reported together with its place.
 *
 * @module
 */
export * from './finding.ts'
export * from './locate_key.ts'
export * from './read_document.ts'
export * from './read_settings.ts'
export * from './settings.ts'
