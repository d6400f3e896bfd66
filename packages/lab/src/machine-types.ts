/** Machine types of the lab's fake cloud. */
import { BOX_MACHINE_TYPE } from '@heathroad/testkit'
import type { MachineType } from '@heathroad/wire'

/** Boot time in seconds; shorter than on simulated days, as the lab runs in real time. */
const BOOT_S = 4

/** Machine types that the lab's fake cloud offers. */
export const LAB_MACHINE_TYPES: readonly MachineType[] = [{ ...BOX_MACHINE_TYPE, bootS: BOOT_S }]
