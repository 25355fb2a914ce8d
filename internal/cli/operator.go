package cli

import (
	"tillerusher/internal/capture"
	"tillerusher/internal/config"
)

// LoadOperator reads the operators' settings from a file; an empty file name means no settings. captureDirectory is the
// command line's capture directory. If it is not empty, it overrides the directory in the file.
func LoadOperator(file, captureDirectory string) (*config.OperatorConfig, error) {
	operator := &config.OperatorConfig{}
	if file != "" {
		var err error
		if operator, err = config.LoadOperatorConfig(file); err != nil {
			return nil, err
		}
	}
	if captureDirectory != "" {
		if operator.Capture == nil {
			operator.Capture = &config.CaptureConfig{Config: capture.DefaultConfig()}
		}
		operator.Capture.Directory = captureDirectory
	}
	return operator, nil
}
