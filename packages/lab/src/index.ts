/** The lab: experiments with real controller processes among fake services. */
export * from './experiment.js'
export * from './experiment-run.js'
export * from './fake-servers.js'
export * from './html-report.js'
export * from './made-history.js'
export * from './start-measurement.js'
