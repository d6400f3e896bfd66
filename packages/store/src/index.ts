export * from './client.js'
export * from './mirror.js'
export * from './writer.js'
