/** Configuration of a controller: the platform's settings, the operators' settings and the limits derived from them. */
export * from './config-error.js'
export * from './derived-limits.js'
export * from './load-config.js'
export * from './operator-settings.js'
export {
	PLUGIN_PERMISSIONS,
	type PluginPermission,
	type PluginSettings,
	type PluginsSettings,
} from './plugin-settings.js'
export { maxValueChars, parseSettings, type Settings } from './settings.js'
