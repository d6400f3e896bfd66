import { BOX_MACHINE_TYPE } from '@heathroad/testkit'
import type { MachineType } from '@heathroad/wire'

/** What the lab's cloud rents: real time is dear, so it boots sooner. */
export const LAB_TYPES: readonly MachineType[] = [{ ...BOX_MACHINE_TYPE, bootS: 4 }]
