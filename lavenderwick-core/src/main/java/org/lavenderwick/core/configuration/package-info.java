/** The configuration that operators put in force, and how a daemon installs newer versions of it. */
package org.lavenderwick.core.configuration;
