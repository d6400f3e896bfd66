/** Access to the state service: client, watch cache and write queue. */
export * from './client.js'
export * from './request-pacer.js'
export * from './watch-cache.js'
export { CONDITIONS_PER_OPERATION } from './write-group.js'
export * from './write-queue.js'
