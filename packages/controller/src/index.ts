/** The owner of a shard: reconciles its machines' heartbeats, places its jobs, and rents and returns machines. */
export * from './boots.js'
export * from './capacity.js'
export * from './checks.js'
export * from './model.js'
export * from './ports.js'
export * from './shard.js'
