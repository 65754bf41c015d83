/**
 * Token buckets, and quotas of customers that all instances share.
 *
 * @module
 */
export * from './instance_quotas.ts'
export * from './quota_ledger.ts'
export * from './quota_message.ts'
export * from './token_bucket.ts'
