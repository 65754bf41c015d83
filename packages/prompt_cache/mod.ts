/**
 * What is known of the prompts that engines still hold.
 *
 * @module
 */
export {}
