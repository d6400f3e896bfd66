export * from './clock.js'
export * from './rules.js'
export * from './standins.js'
export * from './world.js'
