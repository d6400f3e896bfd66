import { CapacityBook, NO_CHECKS, type Ports } from '@heathroad/controller'
import { BOX } from './world.js'

/** What one part alone needs where nothing happens: no machine is rented, no write answered. `more`: what a test is about. */
export const idlePorts = (more: Partial<Ports>): Ports => ({
	now: () => 0,
	wallClock: () => 0,
	right: () => 'grant',
	entry: () => undefined,
	under: () => [],
	job: () => undefined,
	suspected: () => false,
	usedElsewhere: () => ({ cpus: 0, gpus: 0 }),
	leaver: () => () => null,
	checks: () => NO_CHECKS,
	heldBack: () => false,
	marked: () => false,
	openJobs: () => [],
	wrote: () => {},
	write: (w) => ({ ...w, until: 0 }),
	raise: () => {},
	refresh: (done) => done(),
	fresh: (done) => done(true),
	epoch: () => 5,
	command: () => {},
	rent: () => {},
	release: () => {},
	cloudCalls: () => 0,
	catalog: () => [BOX],
	capacity: new CapacityBook(),
	log: () => {},
	...more,
})
