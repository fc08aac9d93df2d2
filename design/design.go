// Package design defines the caller API and the operator API in the DSL of goa, from
// which package gen is generated; see scripts/generate.
package design

import . "goa.design/goa/v3/dsl"

var _ = API("eelgrassgrade", func() {
	Title("eelgrassgrade")
	Description("Serves pipelines of model stages and plain services.")
	Server("callers", func() { Services("callers") })
	Server("operators", func() { Services("operators") })
})

// Problem is the body of every error response, a problem document by RFC 9457.
var Problem = Type("Problem", func() {
	ErrorName("name", String, "Error kind")
	Attribute("type", String, "URI reference that identifies the problem type")
	Attribute("title", String, "Short summary of the problem type")
	Attribute("status", Int, "HTTP status")
	Attribute("detail", String, "What happened to this request")
	Attribute("request_id", String, "Identifier of the request")
	Attribute("step", String, "Step at which the error arose")
	Attribute("peer", String, "Endpoint, daemon or platform service involved")
	Attribute("ran", String, "Whether the requested work ran", func() { Enum("not run", "ran", "unknown") })
	Attribute("retry_after_ms", Int64, "Time to wait before a retry, in milliseconds")
	Attribute("retry_after", String, "Time to wait before a retry, in seconds, rounded up")
	Required("name", "type", "title", "status", "detail", "request_id", "step", "peer", "ran")
})

var problemStatus = []struct {
	name   string
	status int
}{
	{"internal", StatusInternalServerError}, {"invalid", StatusBadRequest}, {"unauthorized", StatusUnauthorized},
	{"forbidden", StatusForbidden}, {"not_found", StatusNotFound}, {"conflict", StatusConflict},
	{"too_large", StatusRequestEntityTooLarge}, {"mismatch", StatusUnprocessableEntity},
	{"quarantined", StatusUnprocessableEntity}, {"rate_limited", StatusTooManyRequests},
	{"upstream", StatusBadGateway}, {"unavailable", StatusServiceUnavailable},
	{"deadline_exceeded", StatusGatewayTimeout},
}

func problems() {
	for _, p := range problemStatus {
		Error(p.name, Problem)
	}
}

func problemResponses() {
	for _, p := range problemStatus {
		Response(p.name, p.status, func() {
			ContentType("application/problem+json")
			Header("retry_after:Retry-After")
			Header("name:Problem-Kind")
		})
	}
}

func callerAttributes() {
	Attribute("authorization", String, "Bearer key of the client account")
	Attribute("rank", String, "Requested rank, limited to the rank of the account's plan")
	Attribute("deadline_ms", Int64, "Requested deadline, in milliseconds, limited to that of the pipeline")
}

func callerHeaders() {
	Header("authorization:Authorization")
	Header("rank:X-Rank")
	Header("deadline_ms:X-Deadline-Ms")
}

var rawAnswer = Type("RawAnswer", func() {
	Attribute("request_id", String, "Identifier of the request")
	Attribute("content_type", String, "Media type of the body")
	Attribute("replayed", String, "true if this is the recorded answer to an earlier call with the same idempotency key")
	Required("request_id", "content_type")
})

func rawResponse() {
	Response(StatusOK, func() {
		Header("request_id:X-Request-Id")
		Header("content_type:Content-Type")
		Header("replayed:Idempotent-Replayed")
	})
}

var _ = Service("callers", func() {
	Description("API for callers.")
	problems()

	Method("run_pipeline", func() {
		Description("Runs a pipeline. The response is JSON, or server-sent events if stream is set or Accept requests them.")
		Payload(func() {
			callerAttributes()
			Attribute("pipeline", String, "Name of the pipeline")
			Attribute("accept", String, "Requested media type")
			Required("pipeline")
		})
		Result(rawAnswer)
		HTTP(func() {
			POST("/v1/pipelines/{pipeline}/requests")
			callerHeaders()
			Header("accept:Accept")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			rawResponse()
			problemResponses()
		})
	})

	Method("chat_completions", func() {
		Description("Runs a pipeline through an OpenAI-compatible chat completions request, in which model names the pipeline.")
		Payload(func() { callerAttributes() })
		Result(rawAnswer)
		HTTP(func() {
			POST("/v1/chat/completions")
			callerHeaders()
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			rawResponse()
			problemResponses()
		})
	})

	Method("call_service", func() {
		Description("Calls an operation of a plain service.")
		Payload(func() {
			callerAttributes()
			Attribute("service", String, "Name of the service")
			Attribute("operation", String, "Name of the operation")
			Attribute("idempotency_attempt", Int, "Number of this attempt with the idempotency key, starting at 1, if the caller counts attempts", func() { Minimum(1) })
			Attribute("idempotency_key", String, "Idempotency key: calls with the same key run at most once", func() { MaxLength(255) })
			Required("service", "operation")
		})
		Result(rawAnswer)
		HTTP(func() {
			POST("/v1/services/{service}/{operation}")
			callerHeaders()
			Header("idempotency_key:Idempotency-Key")
			Header("idempotency_attempt:Idempotency-Attempt")
			SkipRequestBodyEncodeDecode()
			SkipResponseBodyEncodeDecode()
			rawResponse()
			problemResponses()
		})
	})
})

var operatorPayload = func(more func()) func() {
	return func() {
		Attribute("authorization", String, "Bearer key of the operator")
		more()
	}
}

var versionInfo = Type("VersionInfo", func() {
	Attribute("version", UInt64, "Number of the version")
	Attribute("sha256", String, "SHA-256 digest of the lists, in hexadecimal")
	Attribute("author", String, "Name of the operator who applied the version")
	Attribute("applied_at", String, "Time of acceptance by the clock of the accepting daemon, RFC 3339")
	Required("version", "sha256")
})

var _ = Service("operators", func() {
	Description("API for operators.")
	problems()

	Method("apply", func() {
		Description("Applies a new version of the lists. It conflicts if base is no longer the current version.")
		Payload(operatorPayload(func() {
			Attribute("base", UInt64, "Version on which the edit is based; 0 if there is none yet")
			Attribute("author", String, "Name of the operator")
			Required("base")
		}))
		Result(func() {
			Attribute("version", UInt64, "Accepted version")
			Attribute("sha256", String, "SHA-256 digest of the lists, in hexadecimal")
			Attribute("peers_acknowledged", Int, "Number of peers that had stored the version before it came into force")
			Required("version", "sha256", "peers_acknowledged")
		})
		HTTP(func() {
			POST("/v1/lists")
			Header("authorization:Authorization")
			Param("base")
			Param("author")
			SkipRequestBodyEncodeDecode()
			Response(StatusOK)
			problemResponses()
		})
	})

	Method("show", func() {
		Description("Returns the lists of a version exactly as they were applied.")
		Payload(operatorPayload(func() {
			Attribute("version", UInt64, "Version to return; 0 or absent means the version in force")
		}))
		Result(func() {
			Attribute("version", UInt64, "Version of the lists")
			Attribute("content_type", String, "Media type of the lists")
			Required("version", "content_type")
		})
		HTTP(func() {
			GET("/v1/lists")
			Header("authorization:Authorization")
			Param("version")
			SkipResponseBodyEncodeDecode()
			Response(StatusOK, func() {
				Header("version:X-Lists-Version")
				Header("content_type:Content-Type")
			})
			problemResponses()
		})
	})

	Method("history", func() {
		Description("Lists accepted versions, newest first.")
		Payload(operatorPayload(func() {
			Attribute("limit", Int, "Maximum number of versions, 20 by default", func() { Minimum(1); Maximum(200); Default(20) })
		}))
		Result(ArrayOf(versionInfo))
		HTTP(func() {
			GET("/v1/history")
			Header("authorization:Authorization")
			Param("limit")
			Response(StatusOK)
			problemResponses()
		})
	})

	Method("status", func() {
		Description("Returns the status of this daemon and of its peers.")
		Payload(operatorPayload(func() {}))
		Result(func() {
			Attribute("daemons", ArrayOf(daemonStatus))
			Required("daemons")
		})
		HTTP(func() {
			GET("/v1/status")
			Header("authorization:Authorization")
			Response(StatusOK)
			problemResponses()
		})
	})

	Method("leave", func() {
		Description("Announces that an instance is leaving, so that the daemons send it no new work.")
		Payload(operatorPayload(func() {
			Attribute("instance", String, "Instance that is leaving", func() { MinLength(1); MaxLength(200) })
			Required("instance")
		}))
		Result(func() {
			Attribute("durable", Boolean, "Whether the table service has recorded the announcement")
			Attribute("daemons_informed", Int, "Number of daemons that have confirmed the announcement")
			Attribute("daemons_known", Int, "Number of daemons that are live in this daemon's membership view")
			Required("durable", "daemons_informed", "daemons_known")
		})
		HTTP(func() {
			POST("/v1/instances/{instance}/leave")
			Header("authorization:Authorization")
			Response(StatusOK)
			problemResponses()
		})
	})
})

var daemonStatus = Type("DaemonStatus", func() {
	Attribute("instance", String, "Instance of the daemon")
	Attribute("data_center", String, "Data centre of the daemon")
	Attribute("version", UInt64, "Version of the lists in force")
	Attribute("ready", Boolean, "Whether the daemon accepts requests")
	Attribute("leaving", ArrayOf(String), "Leaving instances, to which the daemon sends no new work")
	Attribute("quarantined", Int, "Number of quarantined requests that the daemon knows")
	Attribute("view_age_ms", Int64, "Age of the membership view, in milliseconds")
	Attribute("requests_in_progress", Int, "Number of requests in progress")
	Attribute("error", String, "Reason why the daemon's status is unknown, absent if it is known")
	Required("instance", "data_center", "version", "ready")
})
