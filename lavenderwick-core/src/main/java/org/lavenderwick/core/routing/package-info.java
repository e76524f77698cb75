/** Selection of the endpoint that serves a read. */
package org.lavenderwick.core.routing;
