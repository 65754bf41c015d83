/**
 * Token buckets, and quotas of customers that all instances share.
 *
 * @module
 */
export {}
