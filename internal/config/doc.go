// Package config reads what a server is configured with: the platform's environment and configuration file, and the
// operators' own file of S-expressions. Keys of both stand only here; the rest of the program uses the types of this package.
package config
