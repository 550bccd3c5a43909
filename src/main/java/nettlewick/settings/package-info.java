/**
 * The dispatcher's own settings file: its syntax, its keywords, and the values that the other packages read.
 *
 * <p>{@link nettlewick.settings.LineParser} turns files into lines of words, {@link nettlewick.settings.SettingsSchema}
 * lists all sections and keywords, {@link nettlewick.settings.Settings} checks the lines against it, and
 * {@link nettlewick.settings.Block} gives out the checked values. {@link nettlewick.settings.SettingsReference} prints the
 * schema as the reference page. Depends on no other package of the program. Checked settings do not change and may be
 * read by any thread.
 */
package nettlewick.settings;
