/** Access to the state service: client, watch cache and write queue. */
export * from './client.js'
export * from './request-pacer.js'
export * from './watch-cache.js'
export * from './write-queue.js'
