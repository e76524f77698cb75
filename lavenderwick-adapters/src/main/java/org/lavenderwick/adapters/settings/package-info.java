/** Settings of one daemon, read from a JSON file and checked whole at start. */
package org.lavenderwick.adapters.settings;
