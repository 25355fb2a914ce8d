// Package config reads a server's configuration: environment variables and the configuration file of the platform, and the
// operators' settings file of S-expressions. Only this package contains the keys of both files; the rest of the program
// uses the types of this package.
package config
