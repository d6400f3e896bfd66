// Payout files go out before the bank's cut-off, and never two runs at a time.
const CUT_OFF_H = 16
const LONGEST_S = 3600

/** A run whose deadline leaves no time for it is refused before it is accepted. */
export const admit = (job) => {
	if (job.dueS !== null && job.dueS < job.expectedS)
		return { refuse: `due in ${job.dueS} s, and one task takes ${job.expectedS} s` }
	if (job.expectedS > LONGEST_S) return { refuse: 'a payout task takes an hour at most' }
	return { pass: true }
}

/** In the last minutes before the cut-off nothing new begins; the night's first runs begin behind it. */
export const release = (job) => {
	const now = new Date()
	const minutesLeft = CUT_OFF_H * 60 - (now.getUTCHours() * 60 + now.getUTCMinutes())
	const needed = Math.ceil(job.expectedS / 60)
	if (minutesLeft > 0 && minutesLeft < needed)
		return { hold: `${minutesLeft} minutes to the cut-off, ${needed} needed`, againS: 30 }
	return { release: true }
}
