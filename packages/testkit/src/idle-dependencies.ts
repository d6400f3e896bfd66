/** Dependencies of a single shard, for tests that run less than a whole controller. */
import { NO_CHECKS, OfferAvailability, type ShardDependencies } from '@heathroad/controller'
import { BOX_MACHINE_TYPE } from './simulated-day.js'

/** Shard dependencies that do nothing: no machine is rented, no write completes. `overrides` replaces some. */
export const idleDependencies = (overrides: Partial<ShardDependencies>): ShardDependencies => ({
	now: () => 0,
	wallClockMs: () => 0,
	leadership: () => 'lease',
	entry: () => undefined,
	withPrefix: () => [],
	job: () => undefined,
	wasQuarantined: () => false,
	usageInOtherShards: () => ({ cpus: 0, gpus: 0 }),
	migrationPlanner: () => () => null,
	checks: () => NO_CHECKS,
	isPendingRelease: () => false,
	keepsReleaseMark: () => false,
	openJobs: () => [],
	applyOwnWrite: () => {},
	enqueueWrite: (write) => ({ ...write, deadline: 0 }),
	raisePriority: () => {},
	refreshCache: (done) => done(),
	linearizableRead: (done) => done(true),
	revision: () => 5,
	sendCommands: () => {},
	rent: () => {},
	releaseMachines: () => {},
	availableCloudCalls: () => 0,
	machineTypes: () => [BOX_MACHINE_TYPE],
	offerAvailability: new OfferAvailability(),
	log: () => {},
	...overrides,
})
