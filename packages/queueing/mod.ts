/**
 * Order of waiting requests, fair shares between customers, and estimates of how long they wait.
 *
 * @module
 */
export {}
