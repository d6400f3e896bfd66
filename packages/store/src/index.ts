export * from './client.js'
export * from './mirror.js'
export * from './pace.js'
export * from './writer.js'
