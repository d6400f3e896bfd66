/** Shard owner: reconciles the heartbeats of its machines, schedules its jobs, and rents and releases machines. */

export * from './admission-checks.js'
export * from './boot-time-estimator.js'
export * from './model.js'
export * from './offer-availability.js'
export * from './shard.js'
export * from './shard-dependencies.js'
