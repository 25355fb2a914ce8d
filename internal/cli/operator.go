package cli

import (
	"tillerusher/internal/capture"
	"tillerusher/internal/config"
)

// LoadOperator reads the operators' own settings from a file, where one is named. A capture directory on the command
// line overrides the one in the file.
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
