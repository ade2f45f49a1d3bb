Feature: The docs match the source
  Guards against settings, error codes, metrics and log events that were added
  or changed in the source but not in the docs.

  Scenario: settings, errors and metrics
    When the docs are compared with the source
    Then SETTINGS.md names every key of the settings with its default
    And API.md names every error code with its status and verdict
    And METRICS.md names every metric
    And PLATFORM.md names every log event, metric series and platform setting
    And 429 and 503 only have the verdict not-run, 502 and 504 only may-have-run
