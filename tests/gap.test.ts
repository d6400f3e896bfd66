import assert from 'node:assert/strict'
import { test } from 'node:test'
import { type Gap, gapDay, World } from '@heathroad/testkit'

const cases: { name: string; gap: Partial<Gap>; seeds: number[] }[] = [
	{
		name: 'the old leader stands still for longer than a cancellation may take',
		gap: { outageS: 110, beforeS: 3, more: [{ atS: -0.6, kind: 'freeze', who: [0], forS: 50 }] },
		seeds: [1, 2],
	},
	{
		name: 'the old leader stands still for longer than a cancellation may take B',
		gap: { outageS: 110, beforeS: 3, archives: false, more: [{ atS: -0.6, kind: 'freeze', who: [0], forS: 50 }] },
		seeds: [1, 2],
	},
]

for (const { name, gap, seeds } of cases)
	for (const seed of seeds)
		test(`the gap, ${name}, seed ${seed}`, async () => {
			const world = new World(gapDay(seed, gap))
			if (process.env.TELL) world.tell = (l) => console.log(l)
			await world.play()
			assert.deepEqual(world.rules.broken, [])
		})
