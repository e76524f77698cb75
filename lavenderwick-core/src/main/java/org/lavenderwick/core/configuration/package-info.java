/** The configuration that operators maintain, and the changes and history by which daemons distribute it. */
package org.lavenderwick.core.configuration;
