/** Access to the state service: its client, a cache of all keys, and a queue for writes. */
export * from './client.js'
export * from './request-pacer.js'
export * from './watch-cache.js'
export * from './write-queue.js'
