/** The error of this package: a settings file that cannot be read or does not hold valid settings. */

/** Settings are unreadable or invalid. The message is one line, names file and field, and is shown to operators. */
export class ConfigError extends Error {}
