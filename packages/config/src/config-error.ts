/** The error that is thrown for a settings file that cannot be read or contains invalid settings. */

/** Settings are unreadable or invalid. The one-line message names the file and the field and is shown to operators. */
export class ConfigError extends Error {}
