/** Error kinds, and the failure value that pairs one with a description. */
package org.lavenderwick.core.error;
