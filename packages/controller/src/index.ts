/** The owner of a shard: reconciles its machines' heartbeats, places its jobs, and rents and returns machines. */

export * from './admission-checks.js'
export * from './boot-time-estimator.js'
export * from './model.js'
export * from './offer-availability.js'
export * from './shard.js'
export * from './shard-dependencies.js'
