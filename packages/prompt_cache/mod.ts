/**
 * What is known of the prompts that engines still hold.
 *
 * @module
 */
export * from './home_of.ts'
export * from './kept_prompts.ts'
export * from './prompt.ts'
export * from './rendezvous_hash.ts'
