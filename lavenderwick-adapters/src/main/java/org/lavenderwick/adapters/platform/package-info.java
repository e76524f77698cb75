/** The port to the platform's key-value service and its adapter over HTTP. */
package org.lavenderwick.adapters.platform;
