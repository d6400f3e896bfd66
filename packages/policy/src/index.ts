export * from './budget.js'
export * from './placement.js'
export * from './ranges.js'
export * from './renting.js'
