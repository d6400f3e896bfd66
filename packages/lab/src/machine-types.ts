/** Machine types of the lab's cloud. */
import { BOX_MACHINE_TYPE } from '@heathroad/testkit'
import type { MachineType } from '@heathroad/wire'

/** Time to boot, in seconds; shorter than on simulated days, as the lab runs in real time. */
const BOOT_S = 4

/** What the lab's cloud rents. */
export const LAB_TYPES: readonly MachineType[] = [{ ...BOX_MACHINE_TYPE, bootS: BOOT_S }]
