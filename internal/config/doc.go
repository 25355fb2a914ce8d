// Package config reads a server's configuration: environment variables and the configuration file of the platform, and the
// operators' settings file of S-expressions. Only this package contains the keys of these files, except for the keys in the
// site's settings, which package settings parses. The rest of the program uses the types of this package.
package config
