/** Names of log events and the interface that components log through. */
export * from './events.js'
