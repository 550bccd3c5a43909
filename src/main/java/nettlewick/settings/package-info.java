/**
 * The dispatcher's settings file: its syntax, its schema, and typed access to its values.
 *
 * <p>{@link nettlewick.settings.LineParser} parses files into lines of words,
 * {@link nettlewick.settings.SettingsSchema} defines all sections and keywords, {@link nettlewick.settings.Settings}
 * validates the lines against it, and {@link nettlewick.settings.Block} provides the validated values.
 * {@link nettlewick.settings.SettingsReference} generates the settings reference from the schema. Depends on no other
 * package of the program. Validated settings are immutable and thread-safe.
 */
package nettlewick.settings;
