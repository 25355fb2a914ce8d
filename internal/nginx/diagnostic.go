package nginx

import (
	"fmt"

	"tillerusher/internal/sexp"
)

// Severity is how much it matters that something is not carried over.
type Severity uint8

// The severities.
const (
	Harmless        Severity = iota // it has no part in which pool gets a request, or none here
	ChangesBehavior                 // requests may be answered otherwise
	Unsafe                          // requests may go where they must not: do not go on without a look
)

// severityNames are the words for severities.
var severityNames = [...]string{"harmless", "changes behaviour", "unsafe"}

// String is the severity's word.
func (s Severity) String() string { return severityNames[s] }

// MarshalText writes the severity's word.
func (s Severity) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Diagnostic names one thing that is not carried over, or not as it was.
type Diagnostic struct {
	Pos       sexp.Pos `json:"at"`
	Directive string   `json:"what"` // the directive
	Severity  Severity `json:"severity"`
	Reason    string   `json:"reason"`
}

// String is the remark in one line.
func (r Diagnostic) String() string {
	return fmt.Sprintf("%v: %s: %v: %s", r.Pos, r.Directive, r.Severity, r.Reason)
}

// unsupported says of directives that are known and not carried over what that means. docs/nginx.md has the same table.
var unsupported = map[string]struct {
	severity Severity
	reason   string
}{
	"access_log": {Harmless, "logs are kept by the gateway"}, "error_log": {Harmless, "logs are kept by the gateway"},
	"log_format": {Harmless, "logs are kept by the gateway"}, "log_not_found": {Harmless, "logs are kept by the gateway"},
	"worker_processes": {Harmless, "it is about nginx's own process"}, "events": {Harmless, "it is about nginx's own process"},
	"user": {Harmless, "it is about nginx's own process"}, "pid": {Harmless, "it is about nginx's own process"},
	"worker_rlimit_nofile": {Harmless, "it is about nginx's own process"}, "daemon": {Harmless, "it is about nginx's own process"},
	"sendfile": {Harmless, "no files are sent"}, "tcp_nopush": {Harmless, "no files are sent"},
	"tcp_nodelay": {Harmless, "it is always on"}, "types": {Harmless, "no files are sent"},
	"default_type": {Harmless, "no files are sent"}, "gzip": {Harmless, "the gateway compresses"},
	"server_tokens": {Harmless, "no such header is sent"}, "keepalive_timeout": {Harmless, "the gateway keeps connections"},
	"zone": {Harmless, "one process holds all state of a pool"}, "charset": {Harmless, "no files are sent"},
	"types_hash_max_size": {Harmless, "it is about nginx's own memory"}, "server_names_hash_bucket_size": {Harmless, "it is about nginx's own memory"},
	"fastcgi_buffers": {Harmless, "answers are bounded here"}, "fastcgi_buffer_size": {Harmless, "answers are bounded here"},
	"fastcgi_index": {Harmless, "no file names are made up for members"}, "index": {Harmless, "no files are served"},
	"resolver": {ChangesBehavior, "names are not looked up"}, "root": {ChangesBehavior, "no files are served"},
	"alias": {ChangesBehavior, "no files are served"}, "client_max_body_size": {ChangesBehavior, "the bound on bodies is the server's own"},
	"fastcgi_cache":           {ChangesBehavior, "answers are not cached"},
	"fastcgi_split_path_info": {ChangesBehavior, "paths are passed on whole"}, "fastcgi_hide_header": {ChangesBehavior, "headers are passed on"},
	"fastcgi_pass_header": {Harmless, "headers are passed on"}, "fastcgi_pass_request_body": {ChangesBehavior, "bodies are passed on"},
	"add_header": {ChangesBehavior, "headers are the members' own"}, "expires": {ChangesBehavior, "headers are the members' own"},
	"limit_req": {ChangesBehavior, "the decision module limits tenants"}, "limit_req_zone": {ChangesBehavior, "the decision module limits tenants"},
	"limit_conn": {ChangesBehavior, "the decision module limits tenants"}, "limit_conn_zone": {ChangesBehavior, "the decision module limits tenants"},
	"map": {ChangesBehavior, "variables are not computed"}, "geo": {ChangesBehavior, "variables are not computed"},
	"split_clients": {ChangesBehavior, "variables are not computed"}, "recursive_error_pages": {ChangesBehavior, "what a fallback ends with is the end"}, "set": {ChangesBehavior, "variables are not computed"},
	"ssl_certificate": {ChangesBehavior, "the gateway ends TLS"}, "ssl_certificate_key": {ChangesBehavior, "the gateway ends TLS"},
	"ssl": {ChangesBehavior, "the gateway ends TLS"}, "sticky": {ChangesBehavior, "only hashes keep a caller at a member"},
	"if":       {Unsafe, "what stands in it is not looked at"},
	"internal": {Unsafe, "the location can be asked for from outside"},
	"allow":    {Unsafe, "callers are not kept out by address"}, "deny": {Unsafe, "callers are not kept out by address"},
	"auth_basic": {Unsafe, "callers are not asked for a password"}, "auth_request": {Unsafe, "no other location is asked first"},
	"satisfy": {Unsafe, "callers are not kept out"}, "limit_except": {Unsafe, "methods are not kept out"},
	"proxy_pass": {Unsafe, "members are spoken to by FastCGI or SCGI only"}, "uwsgi_pass": {Unsafe, "members are spoken to by FastCGI or SCGI only"},
	"grpc_pass": {Unsafe, "members are spoken to by FastCGI or SCGI only"}, "memcached_pass": {Unsafe, "members are spoken to by FastCGI or SCGI only"},
	"mirror": {ChangesBehavior, "requests are not sent twice"}, "stream": {Unsafe, "only http is read"}, "mail": {Unsafe, "only http is read"},
}
