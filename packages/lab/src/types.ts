import type { MachineType } from '@heathroad/wire'

/** What the lab's cloud rents. */
export const LAB_TYPES: readonly MachineType[] = [
	{
		name: 'box',
		cpus: 8,
		gpus: 0,
		ramGb: 32,
		cacheGb: 20,
		fetchGbPerS: 1,
		price: 1,
		spotPrice: 0.3,
		bootS: 4,
		zones: ['a', 'b'],
	},
]
