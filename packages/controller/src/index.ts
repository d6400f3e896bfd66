export * from './model.js'
export * from './part.js'
